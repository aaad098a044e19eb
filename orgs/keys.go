package orgs

import (
	"strings"

	"waxwing.example/croft"
)

// Keys maps the digests of API keys to organisations; it is immutable and holds no key.
type Keys struct {
	byDigest map[croft.KeyDigest]croft.OrganisationID
}

// NewKeys returns the keys of some organisations. A key of two organisations belongs to the first one.
func NewKeys(organisations []croft.Organisation) Keys {
	k := Keys{byDigest: map[croft.KeyDigest]croft.OrganisationID{}}
	for _, o := range organisations {
		for _, digest := range o.Keys {
			if _, taken := k.byDigest[digest]; !taken {
				k.byDigest[digest] = o.ID
			}
		}
	}
	return k
}

// bearerScheme is the authentication scheme of API keys (RFC 6750), which is compared without regard to case.
const bearerScheme = "bearer"

// Authenticate returns the organisation whose key an Authorization header carries, and whether there is one.
func (k Keys) Authenticate(authorization string) (croft.OrganisationID, bool) {
	scheme, key, _ := strings.Cut(authorization, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" {
		return "", false
	}
	id, ok := k.byDigest[croft.DigestKey(key)]
	return id, ok
}
