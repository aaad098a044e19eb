package conf

import (
	"cmp"
	"fmt"
	"reflect"

	"waxwing.example/croft"
)

// Change is one difference between two configurations, in a section: a pool, a service, a request kind or a team.
type Change struct {
	// Section is the type of the section: Pool, Service, Kind or Team.
	Section string
	// ID is the ID of the section; that of a kind begins with its service, such as intake/reading.
	ID string
	// Field is the field that differs, empty where the whole section was added or removed.
	Field string
	// Old and New are the values before and after, empty where there is none.
	Old string
	New string
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s %s: %s %s -> %s", c.Section, c.ID, c.Field, c.Old, c.New)
	case c.Old == "":
		return fmt.Sprintf("%s %s: added %s", c.Section, c.ID, c.New)
	}
	return fmt.Sprintf("%s %s: removed %s", c.Section, c.ID, c.Old)
}

// Diff returns the differences between two configurations: pools first, then services, the kinds of each, and teams.
func Diff(before, after croft.Config) []Change {
	before, after = Normalize(before), Normalize(after)
	changes := diffSections("Pool", before.Pools, after.Pools, poolID, "")
	changes = append(changes, diffSections("Service", before.Services, after.Services, serviceID, "")...)
	for _, s := range after.Services {
		old, _ := before.Service(s.ID)
		changes = append(changes, diffSections("Kind", old.Kinds, s.Kinds, kindID, string(s.ID)+"/")...)
	}
	return append(changes, diffSections("Team", before.Teams, after.Teams, teamID, "")...)
}

func kindID(k croft.Kind) croft.KindID { return k.ID }

// diffSections returns the changes of one type of section: those changed or added in the order of after, then those
// removed in the order of before.
func diffSections[T any, K cmp.Ordered](name string, before, after []T, id func(T) K, idPrefix string) []Change {
	var changes []Change
	old := map[K]T{}
	for _, s := range before {
		old[id(s)] = s
	}
	for _, s := range after {
		sectionID := idPrefix + fmt.Sprint(id(s))
		previous, found := old[id(s)]
		delete(old, id(s))
		if !found {
			changes = append(changes, Change{Section: name, ID: sectionID, New: fmt.Sprintf("%+v", s)})
			continue
		}
		changes = append(changes, diffFields(name, sectionID, previous, s)...)
	}
	for _, s := range before {
		if previous, gone := old[id(s)]; gone {
			changes = append(changes, Change{Section: name, ID: idPrefix + fmt.Sprint(id(s)), Old: fmt.Sprintf("%+v", previous)})
		}
	}
	return changes
}

// diffFields returns the fields of a section that differ, except Kinds, which Diff compares as separate sections.
func diffFields[T any](name, sectionID string, before, after T) []Change {
	var changes []Change
	old, current := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		field := old.Type().Field(i).Name
		if field == "Kinds" {
			continue
		}
		oldText, newText := fmt.Sprintf("%+v", old.Field(i)), fmt.Sprintf("%+v", current.Field(i))
		if oldText != newText {
			changes = append(changes, Change{Section: name, ID: sectionID, Field: field, Old: oldText, New: newText})
		}
	}
	return changes
}
