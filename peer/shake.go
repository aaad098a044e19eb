package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"waxwing.example/croft"
)

// handshakeSpan bounds the exchange of proofs on a new connection, in milliseconds.
const handshakeSpan = 2 * croft.Second

// challengeBytes is the length of each side's challenge.
const challengeBytes = 32

// side is who proves the key; it keeps a proof from being sent back to its maker.
type side byte

const (
	dialer   side = 'D'
	listener side = 'L'
)

func (s side) other() side {
	if s == dialer {
		return listener
	}
	return dialer
}

// proveKey has both sides prove that they hold the key without sending it; each answers
// the other's challenge with an HMAC (RFC 2104) over it and over its own side.
func proveKey(conn net.Conn, key []byte, own side) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeSpan.Duration())); err != nil {
		return err
	}
	challenge := make([]byte, challengeBytes)
	if _, err := rand.Read(challenge); err != nil {
		return err
	}
	if _, err := conn.Write(challenge); err != nil {
		return err
	}
	theirs := make([]byte, challengeBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, own, theirs)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if !hmac.Equal(answer, proof(key, own.other(), challenge)) {
		return ErrKey
	}
	return conn.SetDeadline(time.Time{})
}

func proof(key []byte, prover side, challenge []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{byte(prover)})
	mac.Write(challenge)
	return mac.Sum(nil)
}
