// Package conf stores the configuration on the platform and decides which version an entry uses. A new version is
// accepted by compare-and-set and stored as a snapshot and as a change row; the reducer uses the highest version that
// it has received and never goes back to a lower one.
//
// The head row names the accepted version and the hash of its content. Each acceptance writes the snapshot object first,
// then the head and the change row in one transaction, so that every version that a head ever named can be read. Readers
// verify the hash whether they read the snapshot or applied change rows.
package conf
