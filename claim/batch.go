package claim

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
)

// Record is one claim or release in a batch.
type Record struct {
	// Hash is the 128-bit hash of class and key in hexadecimal.
	Hash    string
	Attempt string
}

// logBatch is the value of one row of a shard's log, stored as JSON.
type logBatch struct {
	// Seq is the sequence number of the batch in the shard's log.
	Seq uint64
	// Nonce tells the batch from others that were proposed with the same sequence number.
	Nonce string
	// Taken is when the batch was created, by its writer's wall clock.
	Taken    croft.Millis
	Claims   []Record
	Releases []Record `json:",omitempty"`
}

// Layout holds the settings of the logs, which must be the same at all entries; it is stored as JSON.
type Layout struct {
	// Shards is the number of logs.
	Shards int
	// Slots is the number of rows in each log's ring.
	Slots int
	// Window is how long a claim stays held, the time within which callers may repeat a request.
	Window croft.Millis
	// Margin is added to the window for the difference between the entries' clocks.
	Margin croft.Millis
}

const (
	layoutKey = croft.ClaimPrefix + "layout"
	// secondHashSeed seeds the second half of the 128-bit hash.
	secondHashSeed = 0x9e3779b97f4a7c15
	// hashLength is the number of hexadecimal digits of a hash.
	hashLength = 32
	// maxAttemptLength bounds an attempt's id, in bytes.
	maxAttemptLength = 128
)

// hashRequest returns the 128-bit hash of class and key in hexadecimal, and the first half of it, which selects the shard.
func hashRequest(request croft.Request) (string, uint64) {
	class := request.Class
	text := fmt.Sprintf("%d/%s%d/%s%s", len(class.Service), class.Service, len(class.Kind), class.Kind, request.Key)
	first := xxhash.Sum64String(text)
	digest := xxhash.NewWithSeed(secondHashSeed)
	_, _ = digest.WriteString(text)
	return fmt.Sprintf("%016x%016x", first, digest.Sum64()), first
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%04d/", croft.ClaimPrefix, shard) }

func slotKey(shard, slot int) string { return fmt.Sprintf("%s%08d", shardPrefix(shard), slot) }

func (b logBatch) encode() []byte {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return value
}

// decodeBatch decodes and checks a row of a log.
func decodeBatch(row croft.Row) (logBatch, error) {
	var b logBatch
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return logBatch{}, &RowError{Key: row.Key, Reason: err.Error()}
	}
	for _, r := range slices.Concat(b.Claims, b.Releases) {
		if r.Hash == "" || len(r.Hash) > hashLength || r.Attempt == "" || len(r.Attempt) > maxAttemptLength {
			return logBatch{}, &RowError{Key: row.Key, Reason: "Claims or Releases: a hash or an attempt is empty or too long"}
		}
	}
	return b, nil
}

// RowError reports that a row of the log cannot be used.
type RowError struct {
	Key    string
	Reason string
}

// Error names the row and the reason.
func (e *RowError) Error() string { return "claim: row " + e.Key + ": " + e.Reason }
