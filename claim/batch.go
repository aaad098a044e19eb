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

// logBatch is the value of one row of a shard's log.
type logBatch struct {
	Seq   uint64
	Nonce string
	// Taken is when the batch was made, by its writer's wall clock.
	Taken    croft.Millis
	Claims   []Record
	Releases []Record `json:",omitempty"`
}

// Layout is what all entries must agree on.
type Layout struct {
	// Shards is the number of logs.
	Shards int
	// Slots is the number of rows in each log's ring.
	Slots int
	// Window is how long a caller may repeat a request, in milliseconds.
	Window croft.Millis
	// Margin covers the difference between the entries' clocks, in milliseconds.
	Margin croft.Millis
}

const (
	layoutKey  = croft.ClaimPrefix + "layout"
	secondSeed = 0x9e3779b97f4a7c15
	hashLength = 32
	maxAttempt = 128
)

func hashOf(request croft.Request) (string, uint64) {
	class := request.Class
	text := fmt.Sprintf("%d/%s%d/%s%s", len(class.Service), class.Service, len(class.Kind), class.Kind, request.Key)
	first := xxhash.Sum64String(text)
	digest := xxhash.NewWithSeed(secondSeed)
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

func decodeBatch(row croft.Row) (logBatch, error) {
	var b logBatch
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return logBatch{}, &RowError{Key: row.Key, Reason: err.Error()}
	}
	for _, r := range slices.Concat(b.Claims, b.Releases) {
		if r.Hash == "" || len(r.Hash) > hashLength || r.Attempt == "" || len(r.Attempt) > maxAttempt {
			return logBatch{}, &RowError{Key: row.Key, Reason: "Claims or Releases: a hash or an attempt is empty or too long"}
		}
	}
	return b, nil
}

// RowError tells that a row of the log cannot be read.
type RowError struct {
	Key    string
	Reason string
}

// Error names the row.
func (e *RowError) Error() string { return "claim: row " + e.Key + ": " + e.Reason }
