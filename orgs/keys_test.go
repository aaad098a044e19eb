package orgs

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

func organisation(id croft.OrganisationID, keys ...string) croft.Organisation {
	o := croft.Organisation{ID: id}
	for _, key := range keys {
		o.Keys = append(o.Keys, croft.DigestKey(key))
	}
	return o
}

// Guards against callers that are served without a valid key, or as another organisation.
func TestAuthenticate(t *testing.T) {
	keys := NewKeys([]croft.Organisation{organisation("a", "k1", "k2"), organisation("b", "k3", "k1", "")})
	for header, want := range map[string]croft.OrganisationID{
		"Bearer k1": "a", "Bearer k2": "a", "Bearer k3": "b", "bearer  k3": "b",
		"": "", "Bearer": "", "Bearer ": "", "Bearer k4": "", "Basic k1": "", "k1": "", "Bearer k1 k3": "",
	} {
		got, ok := keys.Authenticate(header)
		assert.Equal(t, got, want, header)
		assert.Equal(t, ok, want != "", header)
	}
}
