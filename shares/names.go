package shares

import "waxwing.example/croft"

const (
	// MaxNames is the number of organisations that metrics and periodic log lines name.
	MaxNames = 64
	// Other stands for all further organisations.
	Other = croft.OrganisationID("other")
)

// Names bounds the number of organisations' names in metrics and log lines; the zero value is ready for use.
type Names struct {
	named map[croft.OrganisationID]bool
}

// Label returns the organisation's own ID for the first MaxNames organisations, and Other for the rest.
func (n *Names) Label(org croft.OrganisationID) croft.OrganisationID {
	if n.named[org] {
		return org
	}
	if len(n.named) >= MaxNames {
		return Other
	}
	if n.named == nil {
		n.named = map[croft.OrganisationID]bool{}
	}
	n.named[org] = true
	return org
}
