// Package audit checks a configuration of job queues before an operator sends it: it finds errors, entries that can never match and
// limits that contradict each other, and lists what differs from the version in force. It is pure, and its findings contain neither API
// keys nor their digests.
package audit
