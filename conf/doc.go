// Package conf keeps the accepted configuration: its acceptance by compare-and-set, its
// change rows and snapshots on the platform, and the reducer that puts the highest version
// in force and never a lower one.
//
// The head row names the version in force with the hash of its whole content. Each acceptance
// writes the snapshot object first, then head and change row in one transaction, so that every
// version a head ever named can be read. Readers verify the hash, whichever way they came.
package conf
