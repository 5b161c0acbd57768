#pragma once

namespace pollenway::header {

constexpr char kOutcome[] = "Pollenway-Outcome";
constexpr char kCode[] = "Pollenway-Code";
constexpr char kWorkspace[] = "Pollenway-Workspace";
constexpr char kRequestId[] = "Pollenway-Request-Id";
constexpr char kDeadlineMs[] = "Pollenway-Deadline-Ms";
constexpr char kNotRun[] = "Pollenway-Not-Run";
/// In an answer: this is the stored answer of an earlier request.
constexpr char kRepeated[] = "Pollenway-Repeated";
constexpr char kIdempotencyKey[] = "Idempotency-Key";

// Used between instances only; removed from callers' requests.
constexpr char kRelayService[] = "Pollenway-Relay-Service";
/// In a request: the remaining number of attempts. In an answer: the number of
/// attempts that were made.
constexpr char kRelayAttempts[] = "Pollenway-Relay-Attempts";
constexpr char kRelayTarget[] = "Pollenway-Relay-Target";
/// In an answer: the start time of the target's incarnation that has announced
/// that it leaves, in Unix milliseconds; 0 if unknown.
constexpr char kRelayLeavingStartMs[] = "Pollenway-Relay-Leaving-Start-Ms";
constexpr char kRelayHops[] = "Pollenway-Relay-Hops";
constexpr char kRelayExecution[] = "Pollenway-Relay-Execution";
constexpr char kRelayWeight[] = "Pollenway-Relay-Weight";
constexpr char kRelayFingerprint[] = "Pollenway-Relay-Fingerprint";
/// In an answer: "answer", "refusal" or "failure".
constexpr char kRelayResult[] = "Pollenway-Relay-Result";
constexpr char kRelayFailure[] = "Pollenway-Relay-Failure";
constexpr char kRelayBytesSent[] = "Pollenway-Relay-Bytes-Sent";

} // namespace pollenway::header
