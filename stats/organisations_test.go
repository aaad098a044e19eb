package stats

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/shares"
)

// The number of series must not grow with the number of organisations; those beyond the limit count together, and one that
// submits nothing any more keeps no old rate.
func TestOrganisationSeriesAreLimited(t *testing.T) {
	s := New()
	loads := map[croft.OrganisationID]sched.OrganisationLoad{}
	for i := range 160 {
		org := croft.OrganisationID(fmt.Sprint(i))
		loads[org] = sched.OrganisationLoad{Accepted: 1, Offered: 2, Admitted: 0.5}
		s.CountRefusal(org)
	}
	s.SetOrganisations(loads)
	s.SetOrganisations(loads)
	got := servedText(s)
	for _, name := range []string{"accepted_rate", "offered_rate", "admitted", "refusals_total"} {
		assert.Equal(t, strings.Count(got, "croft_organisation_"+name+"{"), shares.MaxNames+1, name)
	}
	for _, line := range []string{
		`croft_organisation_accepted_rate{organisation="other"} 96`,
		`croft_organisation_offered_rate{organisation="3"} 2`,
		`croft_organisation_admitted{organisation="other"} 0.5`,
		`croft_organisation_refusals_total{organisation="other"} 96`,
	} {
		assert.Assert(t, strings.Contains(got, line), line)
	}
	s.SetOrganisations(nil)
	assert.Assert(t, !strings.Contains(servedText(s), "croft_organisation_accepted_rate{"))
}
