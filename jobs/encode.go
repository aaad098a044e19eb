package jobs

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Sizes of the values of rows.
const (
	// minCompressedBytes is the size from which a value is compressed: steps, and the names and numbers of tasks, repeat much, and
	// the store limits the size of a row.
	minCompressedBytes = 2048
	// maxDecodedBytes bounds what a compressed value may expand to.
	maxDecodedBytes = 16 << 20
)

// compressedMark is the first byte of compressed values; others begin with that of a JSON object.
const compressedMark = 1

// Encode encodes the value of a small row as JSON.
func Encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		// Not reached: all types of row values can be encoded as JSON.
		panic(err)
	}
	return encoded
}

// EncodeRecord encodes the value of a row in JobTable: as JSON, compressed if it is large.
func EncodeRecord(r Record) []byte { return compressLarge(Encode(r)) }

// EncodeProgress encodes the value of a row in StateTable: as JSON, compressed if it is large.
func EncodeProgress(p Progress) []byte { return compressLarge(Encode(p)) }

// maxCompressors is the number of compressors, which need some 1 MB of memory each.
const maxCompressors = 2

// compressors has the compressors that are not in use, nil for those that have not been created.
var compressors = newCompressors()

func newCompressors() chan *flate.Writer {
	idle := make(chan *flate.Writer, maxCompressors)
	for range maxCompressors {
		idle <- nil
	}
	return idle
}

// acquireCompressor waits for a compressor; it must be put back into compressors.
func acquireCompressor() *flate.Writer {
	if w := <-compressors; w != nil {
		return w
	}
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// Not reached: the level is valid.
		panic(err)
	}
	return w
}

// compressLarge returns a value or, if it has at least minCompressedBytes, its compressed form.
func compressLarge(encoded []byte) []byte {
	if len(encoded) < minCompressedBytes {
		return encoded
	}
	w := acquireCompressor()
	defer func() { compressors <- w }()
	compressed := bytes.NewBuffer([]byte{compressedMark})
	w.Reset(compressed)
	_, err := w.Write(encoded)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// Not reached: writes to a buffer do not fail.
		panic(err)
	}
	return compressed.Bytes()
}

// DecodeRecord decodes the value of a row in JobTable.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	err := decode(raw, &r)
	return r, errors.Wrap(err, "job row")
}

// DecodeProgress decodes the value of a row in StateTable.
func DecodeProgress(raw []byte) (Progress, error) {
	var p Progress
	err := decode(raw, &p)
	return p, errors.Wrap(err, "state row")
}

// decode decodes a value that may be compressed.
func decode(raw []byte, target any) error {
	if len(raw) > 0 && raw[0] == compressedMark {
		decoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw[1:])), maxDecodedBytes))
		if err != nil {
			return errors.Wrap(err, "decompressing")
		}
		raw = decoded
	}
	return json.Unmarshal(raw, target)
}
