package io.umberpath.node.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.ControlSettings.QuorumRule;
import io.umberpath.model.Tier;
import io.umberpath.transport.TransportSecurity;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsLoaderTest {
  private static final String TOKEN_HASH = "ab".repeat(32);
  private static final String MINIMAL =
      """
      node:
        address: 127.0.0.1:7100
        zone: kepong
        region: klang-valley
      fleet:
        initialMembers: 3
      platform:
        url: http://127.0.0.1:8500/document
      """;

  private static Either<List<SettingsProblem>, NodeSettings> parse(String text) {
    return SettingsLoader.parse(text, SettingsOverrides.NONE, 7);
  }

  private static Either<List<SettingsProblem>, NodeSettings> parseWith(String field, String value) {
    var override = new SettingsOverrides.Override(field, value);
    return SettingsLoader.parse(MINIMAL, new SettingsOverrides(List.of(override)), 7);
  }

  @ParameterizedTest
  @CsvSource({"127.0.0.1:7100, true", "127.0.0.1:7101, false"})
  void singleMemberFleetRejectsOtherSeeds(String seed, boolean accepted) {
    String alone = MINIMAL.replace("initialMembers: 3", "initialMembers: 1");
    String text = alone.replace("region:", "seeds: ['" + seed + "']\n  region:");
    var result = parse(text);
    assertThat(result.isRight()).isEqualTo(accepted);
    assertThat(accepted || result.getLeft().toString().contains("a fleet of one cannot grow"))
        .isTrue();
  }

  @Test
  void minimalFileGetsDefaults() {
    NodeSettings settings = parse(MINIMAL).get();
    assertThat(settings.control().self().incarnation()).isEqualTo(7);
    assertThat(settings.control().quorum()).isEqualTo(QuorumRule.MAJORITY);
    assertThat(settings.proxy().edgePort()).isEqualTo(-1);
    assertThat(settings.operator().tokens()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"klang-valley", "western-sri-lanka"})
  void sampleFileIsValidWithBackendOverride(String name) {
    Path sample = Path.of("..", "config", name + ".yaml");
    var backend =
        new SettingsOverrides.Override("proxy.backend", "{id: b-1, address: 127.0.0.1:9001}");
    var settings = SettingsLoader.load(sample, new SettingsOverrides(List.of(backend)));
    assertThat(settings.isRight()).as("%s", settings).isTrue();
    assertThat(settings.get().control().self().region()).isEqualTo(name);
    assertThat(settings.get().proxy().backend().orElseThrow().slots()).isEqualTo(6);
    assertThat(settings.get().proxy().backend().orElseThrow().connections()).isEqualTo(130);
    assertThat(settings.get().operator().tokens().get(0).tiers())
        .containsExactly(Tier.PREMIUM, Tier.STANDARD, Tier.BASIC);
  }

  @Test
  void transportIsPlainTextOnlyOnLoopback() {
    assertThat(parse(MINIMAL).get().security())
        .isEqualTo(new TransportSecurity.PlainTextLoopback());
    String exposed = MINIMAL.replace("127.0.0.1:7100", "10.0.0.1:7100");
    assertThat(parse(exposed).getLeft())
        .extracting(SettingsProblem::field)
        .containsExactly("transport");
    String protectedByTls =
        exposed + "transport: {authorities: a.pem, certificates: b.pem, privateKey: b.key}\n";
    assertThat(parse(protectedByTls).get().security())
        .isEqualTo(
            new TransportSecurity.MutualTls(
                new TransportSecurity.PemIdentity(Path.of("b.pem"), Path.of("b.key")),
                Path.of("a.pem")));
    String keyStore =
        exposed + "transport: {authorities: a.pem, keyStore: b.p12, passwordFile: b.txt}\n";
    assertThat(parse(keyStore).get().security())
        .isEqualTo(
            new TransportSecurity.MutualTls(
                new TransportSecurity.Pkcs12Identity(Path.of("b.p12"), Path.of("b.txt")),
                Path.of("a.pem")));
  }

  @Test
  void klangValleyHasALongerBatchWindowThanWesternSriLanka() {
    var config = Path.of("..", "config");
    var klangValley =
        SettingsLoader.load(config.resolve("klang-valley.yaml"), SettingsOverrides.NONE);
    var westernSriLanka =
        SettingsLoader.load(config.resolve("western-sri-lanka.yaml"), SettingsOverrides.NONE);
    assertThat(klangValley.get().control().batchWindowMillis())
        .isGreaterThan(westernSriLanka.get().control().batchWindowMillis());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "node.address | 127.0.0.1 | must be IP:PORT",
        "node.address | 127.0.0.1:0 | must be IP:PORT",
        "node.address | localhost:7100 | must be IP:PORT",
        "node.zone | Kepong | must match",
        "node.zone | [a] | must be a single value",
        "node.zone | null | must be a single value",
        "node.seeds | 127.0.0.1:1 | must be a list",
        "fleet.initialMembers | 0 | must be a whole number, 1 to 100000",
        "fleet.initialMembers | 1_0 | must be a whole number",
        "fleet.initialMembers | 0x10 | must be a whole number",
        "fleet.initialMembers | 99999999999999999999 | must be a whole number",
        "fleet.quorum | all | must be one of [majority, zone-majority]",
        "fleet.batchWindow | 20 | must be a duration",
        "fleet.batchWindow | 2h | must be a duration such as 20ms, 3s or 1m, 0ms to 1m",
        "fleet.heartbeat | 900ms | must be at least twice the heartbeat",
        "fleet.election | 1s | must be longer than parentStall",
        "fleet.maxChildren | 2 | must be at least fanout",
        "fleet.fanOut | 2 | unknown field; known here:",
        "proxy.edgePort | 65536 | must be a whole number, -1 to 65535",
        "proxy.host | node-1 | must be an IP address",
        "proxy.backend | {id: b, address: '127.0.0.1:1', slots: 9, connections: 8} | at least slots",
        "proxy.backend | {address: '127.0.0.1:1'} | is required",
        "platform.url | ftp://127.0.0.1:1/ | must be http://IP:PORT/PATH",
        "platform.url | http://platform:1/ | must be http://IP:PORT/PATH",
        "operator.tokens | {} | must be a list",
        "operator.tokens | [{sha256: x, tenant: a, tiers: [basic]}] | lower-case hex SHA-256",
        "operator.tokens | [{tenant: a, tiers: [gold]}] | must be one of [premium, standard, basic]",
        "operator.tokens | [a] | must be a group of fields",
        "admin | 5 | must be a group of fields",
        "transport | {certificates: a, privateKey: b} | is required",
        "transport | {authorities: a, certificates: b} | is required",
        "transport | {authorities: a, keyStore: b} | is required",
        "transport | {certificates: a, keyStore: b} | either certificates and privateKey or",
        "transport | {cert: a} | unknown field; known here:",
        "unknown.field | 5 | unknown field",
        "node.zone.name | 5 | zone is not a group",
        "node.zone | '[' | while parsing",
      })
  void invalidValueIsReportedWithItsField(String field, String value, String message) {
    var result = parseWith(field, value);
    assertThat(result.isLeft()).isTrue();
    assertThat(result.getLeft())
        .anySatisfy(
            problem -> {
              assertThat(problem.toString()).contains(message);
              assertThat(problem.field())
                  .startsWith(field.substring(0, Math.max(field.indexOf('.'), 1)));
            });
  }

  @Test
  void everyProblemIsReportedWithItsLine() {
    String text = MINIMAL.replace("kepong", "KEPONG").replace("3", "many") + "surplus: 1\n";
    assertThat(parse(text).getLeft())
        .extracting(SettingsProblem::line, SettingsProblem::field, SettingsProblem::value)
        .contains(
            org.assertj.core.groups.Tuple.tuple(3, "node.zone", "KEPONG"),
            org.assertj.core.groups.Tuple.tuple(6, "fleet.initialMembers", "many"),
            org.assertj.core.groups.Tuple.tuple(9, "surplus", "1"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'a: 1\na: 2' | 2 | is given twice",
        "'a: &x 1\nb: *x' | 2 | aliases are not supported",
        "'a: [' | 1 | while parsing",
        "'a: 1\n---\nb: 1' | 3 | must be one document",
        "'- 1' | 1 | must be a group of fields",
        "'' | 1 | is required",
      })
  void invalidDocumentIsRejected(String text, int line, String message) {
    assertThat(parse(text).getLeft())
        .anySatisfy(
            problem -> {
              assertThat(problem.message()).contains(message);
              assertThat(problem.line()).isEqualTo(line);
            });
  }

  @Test
  void tokenIsRedactedInProblems() {
    String secret = "a-token-pasted-by-mistake";
    var result =
        parseWith("operator.tokens", "[{sha256: " + secret + ", tenant: a, tiers: [basic]}]");
    assertThat(result.getLeft().toString()).doesNotContain(secret).contains("redacted");
  }

  @Test
  void duplicateTokenIsRejected() {
    String token = "{sha256: " + TOKEN_HASH + ", tenant: a, tiers: [basic]}";
    var result = parseWith("operator.tokens", "[" + token + "," + token + "]");
    assertThat(result.getLeft().toString()).contains("given twice").doesNotContain(TOKEN_HASH);
  }

  @Test
  void missingFileIsReported() {
    var result = SettingsLoader.load(Path.of("no-such-file.yaml"), SettingsOverrides.NONE);
    assertThat(result.getLeft())
        .singleElement()
        .hasToString("flag: file = 'no-such-file.yaml': does not exist");
  }
}
