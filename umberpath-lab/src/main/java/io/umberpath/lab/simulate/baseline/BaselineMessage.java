package io.umberpath.lab.simulate.baseline;

import io.umberpath.control.ControlMessage;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;

/** Messages of the baselines. */
public sealed interface BaselineMessage extends ControlMessage {
  /** The full configuration. */
  record Snapshot(StateDelta state, PlatformDocument document) implements BaselineMessage {}

  /** A client names what it has. */
  record Poll(Version version, long revision) implements BaselineMessage {}

  /** The client has the newest. */
  record Unchanged() implements BaselineMessage {}

  /** An operator's change on its way to the server. */
  record Forward(long ticket, ChangeSet change) implements BaselineMessage {}

  /** Its outcome on the way back. */
  record Answer(long ticket, ChangeResult result) implements BaselineMessage {}
}
