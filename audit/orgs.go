package audit

import (
	"slices"

	"waxwing.example/croft"
)

func (c *checker) checkOrganisations() {
	ids := make([]string, 0, len(c.config.Organisations))
	for _, o := range c.config.Organisations {
		ids = append(ids, string(o.ID))
	}
	c.checkIDs(KindOrganisation, ids)
	isClosed := func(q croft.Queue) bool { return !q.Public }
	if c.config.RequiresKeys && len(ids) == 0 && slices.ContainsFunc(c.config.Queues, isClosed) {
		c.add(Contradiction, NoOrganisation, KindConfiguration, "", "queues need API keys, but there is no organisation, so no caller can use them")
	}
	owners := map[croft.KeyDigest]int{}
	for i, o := range c.config.Organisations {
		if o.Weight <= 0 {
			c.add(Error, InvalidWeight, KindOrganisation, string(o.ID), "the weight is %v, it must be above zero", o.Weight)
		}
		c.checkAmounts(KindOrganisation, string(o.ID), amount{"the cap of thousandths of a core", float64(o.Cap.MilliCores)},
			amount{"the cap of memory", float64(o.Cap.MemoryMB)}, amount{"the cap of accelerators", float64(o.Cap.Accelerators)})
		c.checkKeys(i, o, owners)
		c.checkCap(o)
	}
}

// checkKeys finds keys that no caller can use as this organisation; owners has the number of the first organisation of each key.
func (c *checker) checkKeys(number int, o croft.Organisation, owners map[croft.KeyDigest]int) {
	id := string(o.ID)
	if len(o.Keys) == 0 {
		c.add(Error, NoKeys, KindOrganisation, id, "has no API key")
		return
	}
	var others []int
	shared, own := map[int]int{}, 0
	for i, key := range o.Keys {
		owner, taken := owners[key]
		switch {
		case key == croft.DigestKey(""):
			c.add(Error, EmptyKey, KindOrganisation, id, "key number %d is empty, and no caller can send it", i+1)
		case !taken:
			owners[key] = number
			own++
		case owner == number:
			c.add(Warning, RepeatedKey, KindOrganisation, id, "key number %d is given twice", i+1)
		default:
			if shared[owner]++; shared[owner] == 1 {
				others = append(others, owner)
			}
		}
	}
	for _, owner := range others {
		c.add(Error, SharedKey, KindOrganisation, id, "has API keys of organisation %q before it, to which their callers belong: %d",
			c.config.Organisations[owner].ID, shared[owner])
	}
	if own == 0 && len(others) > 0 {
		c.add(Error, NoOwnKey, KindOrganisation, id, "all its keys are keys of other organisations, so no caller belongs to it")
	}
}
