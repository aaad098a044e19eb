// Package invoke sends attempts to executors over HTTP/1.1 and determines their outcome: replied, not run or unknown.
//
// An attempt is a POST to /run/SERVICE/KIND with the headers Croft-Attempt (a unique id, which every response echoes),
// Croft-Deadline (milliseconds since the epoch) and Idempotency-Key. A response with the header Croft-Outcome: NotRun
// guarantees that the attempt did not run and will not, and Croft-Reason says why. Croft-Leaving: true says that the
// executor accepts no further work. A Content-Digest (RFC 9530, sha-256) is verified if there is one.
//
// Croft-Boot is the boot of the VM that the attempt is meant for, if it is known. An executor with another boot refuses
// the attempt as not run, with the reason Boot. If its own boot is newer, it also sends Croft-Leaving: true, since the
// boot that the attempt was meant for accepts no further work.
package invoke
