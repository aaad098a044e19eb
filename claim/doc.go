// Package claim takes the one claim that lets a request that may not be repeated run.
//
// Claims are kept in the platform's table as one log a shard, and a request belongs to the
// shard that the hash of its class and key selects. The log is a ring of rows: the batch with
// sequence number n is row n modulo the ring's slots, and it is written by compare-and-set
// against the batch n minus slots that the row held before, or against no row at all.
//
// Why two attempts never hold the same claim within the window:
//
//  1. Row versions only grow, over deletes too, and the rows are never deleted. So a write of
//     batch n succeeds only while batch n was never written, whoever writes and however late.
//     Each batch number has one writer, and the log has one order.
//  2. A writer proposes batch n only after it has folded all batches below n that the ring
//     still holds, each recognized by the number inside it and not by its absence elsewhere.
//     A row that a read does not show, or shows with an older number, is never taken for free:
//     an old read makes the writer propose a batch number that is taken, and the conflict
//     carries the row as it is now. A replaced entry that knows nothing starts the same way.
//  3. A batch holds no claim whose hash the folded log gives to another attempt, so the first
//     attempt in the log's order holds it, until the window and the margin have passed by the
//     wall clock or the holder's release comes in the log.
//  4. A row is written over only when its batch is older than window and margin; where the
//     ring is too short for the rate, claims are refused and nothing is overwritten.
//  5. A commit whose answer was lost is repeated unchanged. A conflict that shows the batch's
//     own nonce settles it as done, one that shows another nonce as never to be done.
//  6. A release is written only for an attempt that surely did not run and never will: the
//     caller says so, or Claim refused it. An entry never releases for another entry.
//  7. A process that was frozen between stamping its claim and learning of it compares its
//     monotonic clock with the margin and refuses; the caller checks again before it sends.
//
// All entries must agree on shards, slots and spans; they are written once into a layout row,
// and an entry with other settings takes no claim. Who owns a shard, by rendezvous hashing
// (Thaler and Ravishankar, 1998) over the entries thought alive, only decides who commits for
// all. A wrong roster costs a conflict.
package claim
