package daemon

import (
	"context"
	"encoding/json"

	"waxwing.example/croft"
	"waxwing.example/croft/claim"
	"waxwing.example/croft/peer"
)

// remoteClaims sends batches of claims to the entries that own their shards.
type remoteClaims struct{ *components }

// ClaimBatch asks a peer to commit a batch of claims and returns the results.
func (r remoteClaims) ClaimBatch(ctx context.Context, to croft.Peer, claims claim.Batch) (claim.BatchResult, error) {
	var result claim.BatchResult
	err := r.client.Call(ctx, to.Address, peer.MethodClaim, claims, &result)
	return result, err
}

// claimTimeout bounds the time to commit a batch of claims from another entry.
const claimTimeout = croft.Second

// handleClaim commits a batch of claims from another entry.
func (c *components) handleClaim(ctx context.Context, params json.RawMessage) (any, error) {
	var claims claim.Batch
	if err := json.Unmarshal(params, &claims); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	return c.claims.ServeBatch(ctx, claims), nil
}

// claimer returns the claim mechanism that the settings select.
func (c *components) claimer() croft.Claimer {
	if c.settings.Policies.Claims == "None" {
		return claim.None{}
	}
	return c.claims
}
