// Package claim grants the claims that let a request that must not be repeated run at most once.
//
// Claims are kept in the platform's table, in one log for each shard; the hash of a request's class
// and key selects its shard. The log is a ring of rows: the batch with sequence number n is stored in
// row n modulo the number of slots. It is written by compare-and-set against the batch n minus slots,
// which that row held before, or against the row's absence.
//
// Two attempts never hold the same claim within the window, for these reasons:
//
//  1. Row versions only grow, even across deletes, and rows of a log are never deleted. So a write of
//     batch n succeeds only if batch n was never written, whoever writes it and however late. Each
//     batch number has one writer, and the log has one order.
//  2. A writer proposes batch n only after it has folded all batches below n that the ring still holds,
//     each identified by the sequence number inside it. A row that a read lacks, or shows with an older
//     number, is never taken to be free: a stale read makes the writer propose a batch number that is
//     taken, and the conflict returns the current row. An entry that restarts without any state
//     begins by folding the log in the same way.
//  3. A batch contains no claim whose hash the folded log assigns to another attempt. So the first
//     attempt in log order holds the claim, until window and margin have passed by the wall clock or
//     the log contains the holder's release.
//  4. A row is overwritten only if its batch is older than window and margin. If the ring is too short
//     for the rate, claims are refused and nothing is overwritten.
//  5. A commit whose answer was lost is retried unchanged. A conflict that shows the batch's own nonce
//     means that the commit succeeded; one that shows another nonce means that it never will.
//  6. A release is written only for an attempt that did not run and never will: because the caller says
//     so, or because Claim refused it. An entry never releases on behalf of another entry.
//  7. If a process was suspended between making a claim and receiving its result for the margin or
//     longer, by its monotonic clock, it refuses the claim; the caller checks its deadline again
//     before it sends the request.
//
// All entries must use the same numbers of shards and slots, window and margin. They are written once
// to a layout row, and an entry with other settings grants no claims. The owner of a shard, which
// commits the claims of all entries, is chosen by rendezvous hashing (Thaler and Ravishankar, 1998)
// over the entries believed to be alive. Safety does not depend on it: entries with different lists
// may both commit to a shard, which costs conflicts only.
package claim
