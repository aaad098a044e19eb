package place

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// usage is the stored row of a team with a quota: its placed jobs. It is written by compare-and-set in the transaction that
// places a job or changes its size, so that a planner that has read old rows of jobs cannot place more than the quota.
type usage struct {
	Jobs map[croft.JobID]jobUsage
}

// jobUsage is what one run of a job uses.
type jobUsage struct {
	Run  uint64
	Size croft.Resources
}

// versionedUsage is a usage as last read or written, with its version.
type versionedUsage struct {
	usage
	version uint64
}

// hasQuota reports whether a team has a quota.
func (in Inputs) hasQuota(id croft.TeamID) bool {
	return in.quota(id) != (croft.Resources{})
}

// quota returns a team's quota; a team that is not declared has the zero quota, which is no limit.
func (in Inputs) quota(id croft.TeamID) croft.Resources {
	for _, t := range in.Config.Teams {
		if t.ID == id {
			return t.Quota
		}
	}
	return croft.Resources{}
}

// placedJobs returns the jobs of a team that may be placed: those of its row, but for runs that are known to have ended, or all
// known ones while the row has not been read.
func (s State) placedJobs(id croft.TeamID) map[croft.JobID]jobUsage {
	out := map[croft.JobID]jobUsage{}
	row, ok := s.teamRows.Get(id)
	if !ok {
		for _, j := range s.jobs.All() {
			if j.Team == id && placed(j.Job) {
				out[j.ID] = jobUsage{Run: j.Run, Size: Size(j.Job)}
			}
		}
		return out
	}
	for job, u := range row.Jobs {
		if known, _ := s.jobs.Get(job); known.Run < u.Run || placed(known.Job) {
			out[job] = u
		}
	}
	return out
}

// changesUsage reports whether a job's row changes what its team's row says.
func (s State) changesUsage(j croft.Job, in Inputs) bool {
	if !placed(j) || !in.hasQuota(j.Team) {
		return false
	}
	row, _ := s.teamRows.Get(j.Team)
	return row.Jobs[j.ID] != jobUsage{Run: j.Run, Size: Size(j)}
}

// withUsage adds to a write the rows of the teams whose usage it changes.
func (s State) withUsage(w write, token string, in Inputs) (State, write) {
	for _, j := range w.rows {
		if !s.changesUsage(j, in) {
			continue
		}
		if w.teams == nil {
			w.teams = map[croft.TeamID]usage{}
		}
		if _, ok := w.teams[j.Team]; !ok {
			w.teams[j.Team] = usage{Jobs: s.placedJobs(j.Team)}
		}
		w.teams[j.Team].Jobs[j.ID] = jobUsage{Run: j.Run, Size: Size(j)}
	}
	for _, id := range slices.Sorted(maps.Keys(w.teams)) {
		row, _ := s.teamRows.Get(id)
		w.ops = append(w.ops, croft.Op{Kind: croft.OpPut, Key: croft.TeamKey(id), Version: row.version, Value: encode(w.teams[id])})
		s.busyTeams = s.busyTeams.With(id, token)
	}
	return s, w
}

// recordTeamRow records a team's row, unless a newer one is known.
func (s State) recordTeamRow(id croft.TeamID, u usage, version uint64) State {
	if known, ok := s.teamRows.Get(id); ok && known.version >= version {
		return s
	}
	s.teamRows = s.teamRows.With(id, versionedUsage{usage: u, version: version})
	return s
}

// recordTeamRows records the teams' rows among rows.
func (s State) recordTeamRows(rows []croft.Row) State {
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, croft.TeamPrefix)
		var u usage
		if ok && json.Unmarshal(r.Value, &u) == nil {
			s = s.recordTeamRow(croft.TeamID(name), u, r.Version)
		}
	}
	return s
}
