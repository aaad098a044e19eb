package daemon

import (
	"context"
	"encoding/json"

	"waxwing.example/croft"
	"waxwing.example/croft/claim"
	"waxwing.example/croft/peer"
)

// remote carries batches of claims to the owners of their shards.
type remote struct{ *parts }

// ClaimBatch asks a peer to commit the claims.
func (r remote) ClaimBatch(ctx context.Context, to croft.Peer, claims claim.Batch) (claim.BatchResult, error) {
	var result claim.BatchResult
	err := r.client.Call(ctx, to.Address, peer.MethodClaim, claims, &result)
	return result, err
}

// claimSpan bounds the time in which another entry's claims are served, in milliseconds.
const claimSpan = croft.Second

func (p *parts) handleClaim(ctx context.Context, params json.RawMessage) (any, error) {
	var claims claim.Batch
	if err := json.Unmarshal(params, &claims); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimSpan.Duration())
	defer cancel()
	return p.claims.ServeBatch(ctx, claims), nil
}

// claimer is the mechanism that the settings select.
func (p *parts) claimer() croft.Claimer {
	if p.settings.Policies.Claims == "None" {
		return claim.None{}
	}
	return p.claims
}
