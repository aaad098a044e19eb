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

// handshakeTimeout bounds the exchange of proofs on a new connection.
const handshakeTimeout = 2 * croft.Second

// challengeBytes is the length of each side's challenge.
const challengeBytes = 32

// side is the end of a connection that a proof comes from. It is part of the proof, so that a proof cannot be
// reflected to the side that made it.
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

// exchangeProofs makes both sides prove that they hold the key without sending it: each responds to
// the other's challenge with an HMAC (RFC 2104) over its own side and the challenge. It returns ErrKey if
// the other side's proof is wrong.
func exchangeProofs(conn net.Conn, key []byte, ownSide side) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration())); err != nil {
		return err
	}
	challenge := make([]byte, challengeBytes)
	if _, err := rand.Read(challenge); err != nil {
		return err
	}
	if _, err := conn.Write(challenge); err != nil {
		return err
	}
	peerChallenge := make([]byte, challengeBytes)
	if _, err := io.ReadFull(conn, peerChallenge); err != nil {
		return err
	}
	if _, err := conn.Write(computeProof(key, ownSide, peerChallenge)); err != nil {
		return err
	}
	peerProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerProof); err != nil {
		return err
	}
	if !hmac.Equal(peerProof, computeProof(key, ownSide.other(), challenge)) {
		return ErrKey
	}
	return conn.SetDeadline(time.Time{})
}

// computeProof returns the HMAC by which the prover responds to a challenge.
func computeProof(key []byte, prover side, challenge []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{byte(prover)})
	mac.Write(challenge)
	return mac.Sum(nil)
}
