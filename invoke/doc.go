// Package invoke runs attempts on executors over HTTP/1.1.
//
// An attempt is a POST to /run/SERVICE/KIND with the headers Croft-Attempt (a fresh id, echoed on
// every answer), Croft-Deadline (milliseconds since the epoch) and Idempotency-Key. An answer with
// the header Croft-Outcome: NotRun promises that the attempt did not run and will not, Croft-Reason
// saying why; Croft-Leaving: true says that the executor takes no further work. A Content-Digest
// (RFC 9530, sha-256) is checked where there is one.
//
// Croft-Boot names the boot of the VM that the attempt is meant for, where it is known. An executor
// of another boot refuses the attempt as not run with the reason Boot; where its own boot is the
// newer one it also says Croft-Leaving: true, since the boot that was meant takes no further work.
package invoke
