package io.umberpath.node.proxy.http;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/**
 * Validates the raw bytes of a message head (RFC 9112) before the codec parses it. The codec is
 * lenient, and request smuggling exploits parsers that interpret the same bytes differently;
 * therefore every head that is not canonical is rejected. Not thread-safe; one instance checks one
 * head.
 */
final class MessageHeadValidator {
  private static final byte[] CONTENT_LENGTH = ascii("content-length");
  private static final byte[] TRANSFER_ENCODING = ascii("transfer-encoding");
  private static final byte[] HOST = ascii("host");
  private static final byte[] CHUNKED = ascii("chunked");
  private static final byte[] HTTP_1_PREFIX = ascii("HTTP/1.");
  private static final boolean[] IS_TOKEN_BYTE = tokenBytes();
  private static final int STATUS_DIGITS = 3;
  private static final int MAX_LENGTH_DIGITS = 18;

  /** Length of a status line without a reason. */
  private static final int STATUS_LINE_BYTES = HTTP_1_PREFIX.length + 2 + STATUS_DIGITS;

  private final Buffer buffer;
  private final int limit;
  private int contentLengthCount;
  private int transferEncodingCount;
  private int hostCount;
  private boolean http11;

  private MessageHeadValidator(Buffer buffer, int limit) {
    this.buffer = buffer;
    this.limit = limit;
  }

  /**
   * Finds the end of the head that begins at the buffer's position.
   *
   * @param maxBytes limit for the length of the head
   * @return index after its final empty line, or -1 if the head is incomplete
   * @throws MalformedMessageException if it is too long or has an LF without CR
   */
  static int findEnd(Buffer buffer, int maxBytes) {
    int start = buffer.position();
    int last = Math.min(buffer.limit(), start + maxBytes);
    for (int index = start; index < last; index++) {
      if (buffer.get(index) == '\n') {
        if (index == start || buffer.get(index - 1) != '\r') {
          throw new MalformedMessageException("head has an LF without CR");
        }
        if (index - start < 2 || buffer.get(index - 2) == '\n') {
          return index + 1;
        }
      }
    }
    if (buffer.remaining() >= maxBytes) {
      throw MalformedMessageException.tooLarge("head is too large");
    }
    return -1;
  }

  /**
   * Checks a request head.
   *
   * @param start index of its first byte
   * @param limit index after its final empty line
   * @throws MalformedMessageException if it is not canonical
   */
  static void checkRequest(Buffer buffer, int start, int limit) {
    MessageHeadValidator validator = new MessageHeadValidator(buffer, limit);
    int end = validator.findLineEnd(start);
    validator.checkRequestLine(start, end);
    validator.checkHeaders(end + 2);
    if (validator.http11 && validator.hostCount != 1) {
      throw new MalformedMessageException("HTTP/1.1 request must have exactly one Host header");
    }
    if (validator.hostCount > 1) {
      throw new MalformedMessageException("request has more than one Host header");
    }
  }

  /**
   * Checks a response head.
   *
   * @param start index of its first byte
   * @param limit index after its final empty line
   * @throws MalformedMessageException if it is not canonical
   */
  static void checkResponse(Buffer buffer, int start, int limit) {
    MessageHeadValidator validator = new MessageHeadValidator(buffer, limit);
    int end = validator.findLineEnd(start);
    validator.checkStatusLine(start, end);
    validator.checkHeaders(end + 2);
    validator.checkSingleStatusLine(start + 1);
  }

  private void checkRequestLine(int start, int end) {
    int methodEnd = start;
    while (methodEnd < end && IS_TOKEN_BYTE[buffer.get(methodEnd) & 0xff]) {
      methodEnd++;
    }
    int versionStart = end - HTTP_1_PREFIX.length - 1;
    if (methodEnd == start || versionStart - 1 <= methodEnd + 1) {
      throw new MalformedMessageException("request line is not 'method target HTTP/1.x'");
    }
    if (buffer.get(methodEnd) != ' ' || buffer.get(versionStart - 1) != ' ') {
      throw new MalformedMessageException("request line is not 'method target HTTP/1.x'");
    }
    for (int index = methodEnd + 1; index < versionStart - 1; index++) {
      int value = buffer.get(index) & 0xff;
      if (value <= ' ' || value >= 0x7f) {
        throw new MalformedMessageException("request target has a byte outside visible ASCII");
      }
    }
    checkVersion(versionStart);
  }

  private void checkStatusLine(int start, int end) {
    int statusStart = start + HTTP_1_PREFIX.length + 2;
    int statusEnd = statusStart + STATUS_DIGITS;
    if (statusEnd > end || buffer.get(statusStart - 1) != ' ') {
      throw new MalformedMessageException("status line is not 'HTTP/1.x status reason'");
    }
    checkVersion(start);
    for (int index = statusStart; index < statusEnd; index++) {
      if (!isDigit(buffer.get(index))) {
        throw new MalformedMessageException("status is not three digits");
      }
    }
    if (buffer.get(statusStart) == '0' || buffer.get(statusStart) > '5') {
      throw new MalformedMessageException("status is not between 100 and 599");
    }
    if (statusEnd < end && buffer.get(statusEnd) != ' ') {
      throw new MalformedMessageException("status is not three digits");
    }
  }

  /**
   * Rejects a head within which another response begins: a backend has broken off one response and
   * sent the next on the same connection, and the fields of both would count as one response.
   */
  private void checkSingleStatusLine(int start) {
    for (int index = start; index < limit - STATUS_LINE_BYTES; index++) {
      if (isStatusLineStart(index)) {
        throw new MalformedMessageException("head contains the status line of another response");
      }
    }
  }

  private boolean isStatusLineStart(int start) {
    for (int index = 0; index < HTTP_1_PREFIX.length; index++) {
      if (buffer.get(start + index) != HTTP_1_PREFIX[index]) {
        return false;
      }
    }
    int statusStart = start + HTTP_1_PREFIX.length + 2;
    boolean isStatus = isDigit(buffer.get(statusStart - 2)) && buffer.get(statusStart - 1) == ' ';
    for (int index = statusStart; index < statusStart + STATUS_DIGITS; index++) {
      isStatus &= isDigit(buffer.get(index));
    }
    return isStatus;
  }

  private void checkVersion(int start) {
    for (int index = 0; index < HTTP_1_PREFIX.length; index++) {
      if (buffer.get(start + index) != HTTP_1_PREFIX[index]) {
        throw new MalformedMessageException("version is not HTTP/1.x");
      }
    }
    byte minor = buffer.get(start + HTTP_1_PREFIX.length);
    if (minor != '0' && minor != '1') {
      throw new MalformedMessageException("version is neither HTTP/1.0 nor HTTP/1.1");
    }
    http11 = minor == '1';
  }

  private void checkHeaders(int start) {
    int lineStart = start;
    while (lineStart < limit) {
      int end = findLineEnd(lineStart);
      if (end == lineStart) {
        break;
      }
      checkHeader(lineStart, end);
      lineStart = end + 2;
    }
    if (lineStart + 2 != limit) {
      throw new MalformedMessageException("head does not end with one empty line");
    }
    if (contentLengthCount > 1
        || transferEncodingCount > 1
        || contentLengthCount + transferEncodingCount > 1) {
      throw new MalformedMessageException("more than one header states the body's length");
    }
    if (transferEncodingCount > 0 && !http11) {
      throw new MalformedMessageException("Transfer-Encoding in HTTP/1.0");
    }
  }

  private void checkHeader(int start, int end) {
    int colon = start;
    while (colon < end && IS_TOKEN_BYTE[buffer.get(colon) & 0xff]) {
      colon++;
    }
    if (colon == start || colon == end || buffer.get(colon) != ':') {
      throw new MalformedMessageException("header line has no valid name before its colon");
    }
    int valueStart = colon + 1;
    while (valueStart < end && isBlank(buffer.get(valueStart))) {
      valueStart++;
    }
    int valueEnd = end;
    while (valueEnd > valueStart && isBlank(buffer.get(valueEnd - 1))) {
      valueEnd--;
    }
    if (equalsIgnoreCase(CONTENT_LENGTH, start, colon)) {
      contentLengthCount++;
      checkContentLength(valueStart, valueEnd);
    } else if (equalsIgnoreCase(TRANSFER_ENCODING, start, colon)) {
      transferEncodingCount++;
      if (!equalsIgnoreCase(CHUNKED, valueStart, valueEnd)) {
        throw new MalformedMessageException("Transfer-Encoding is not exactly 'chunked'");
      }
    } else if (equalsIgnoreCase(HOST, start, colon)) {
      hostCount++;
    }
  }

  private void checkContentLength(int start, int end) {
    if (start == end || end - start > MAX_LENGTH_DIGITS) {
      throw new MalformedMessageException("Content-Length is empty or too long");
    }
    for (int index = start; index < end; index++) {
      if (!isDigit(buffer.get(index))) {
        throw new MalformedMessageException("Content-Length is not a plain number");
      }
    }
  }

  /**
   * Returns the index of the CR that ends this line; rejects control bytes, CR without LF and LF
   * without CR.
   */
  private int findLineEnd(int start) {
    for (int index = start; index < limit; index++) {
      int value = buffer.get(index) & 0xff;
      if (value == '\r') {
        if (index + 1 < limit && buffer.get(index + 1) == '\n') {
          return index;
        }
        throw new MalformedMessageException("head has a CR without LF");
      }
      if (value < ' ' && value != '\t' || value == 0x7f) {
        throw new MalformedMessageException("head has a control byte or an LF without CR");
      }
    }
    throw new MalformedMessageException("head ends before the line is complete");
  }

  private boolean equalsIgnoreCase(byte[] expectedLowerCase, int start, int end) {
    if (end - start != expectedLowerCase.length) {
      return false;
    }
    for (int index = 0; index < expectedLowerCase.length; index++) {
      int value = buffer.get(start + index);
      int lower = value >= 'A' && value <= 'Z' ? value + ('a' - 'A') : value;
      if (lower != expectedLowerCase[index]) {
        return false;
      }
    }
    return true;
  }

  private static boolean isDigit(byte value) {
    return value >= '0' && value <= '9';
  }

  private static boolean isBlank(byte value) {
    return value == ' ' || value == '\t';
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static boolean[] tokenBytes() {
    boolean[] token = new boolean[256];
    for (char letter = 'a'; letter <= 'z'; letter++) {
      token[letter] = true;
      token[Character.toUpperCase(letter)] = true;
    }
    for (char digit = '0'; digit <= '9'; digit++) {
      token[digit] = true;
    }
    for (char symbol : "!#$%&'*+-.^_`|~".toCharArray()) {
      token[symbol] = true;
    }
    return token;
  }
}
