package peer

import (
	"waxwing.example/croft"
	"waxwing.example/croft/conf"
)

// Methods of the protocol between entries.
const (
	// MethodProbe asks an entry for its own Report and brings the sender's.
	MethodProbe = "Probe"
	// MethodTell brings a Report without a reply.
	MethodTell = "Tell"
	// MethodConfig asks for a configuration above a version.
	MethodConfig = "Config"
	// MethodFleet asks for the VMs and member rows that an entry knows.
	MethodFleet = "Fleet"
	// MethodClaim asks the owner of a shard to take claims.
	MethodClaim = "Claim"
)

// Report is what an entry says of itself, of others and of endpoints.
type Report struct {
	From  croft.Peer
	Known []croft.Peer             `json:",omitempty"`
	Beats map[croft.EntryID]uint64 `json:",omitempty"`
	// Ask names entries of which the sender knows no more than that they are alive.
	Ask []croft.EntryID `json:",omitempty"`
	// Count is how many entries the sender thinks alive.
	Count int `json:",omitempty"`
	// Wanted is the sender's demand for slots of some pools.
	Wanted map[croft.PoolID]int `json:",omitempty"`
	News   []croft.News         `json:",omitempty"`
}

// ConfigQuestion asks for a configuration above a version.
type ConfigQuestion struct{ Above uint64 }

// ConfigAnswer leads to the configuration in force, if it is above the version asked.
type ConfigAnswer struct {
	Newer  bool
	Update conf.Update
}

// FleetQuestion asks for what an entry knows of the fleet.
type FleetQuestion struct{}

// FleetAnswer is an entry's last VM list and member rows.
type FleetAnswer struct {
	VMs  []croft.VM
	Rows []croft.Row
}
