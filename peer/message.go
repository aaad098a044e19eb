package peer

import (
	"waxwing.example/croft"
	"waxwing.example/croft/conf"
)

// Methods of the protocol between entries.
const (
	// MethodProbe carries the sender's Report and requests the receiver's.
	MethodProbe = "Probe"
	// MethodNotify is a notification that carries a Report; its name on the wire is Tell.
	MethodNotify = "Tell"
	// MethodConfig requests a configuration newer than a version.
	MethodConfig = "Config"
	// MethodFleet requests the VM list and member rows that an entry has.
	MethodFleet = "Fleet"
	// MethodClaim sends claims to the owner of a shard.
	MethodClaim = "Claim"
)

// Report is what an entry announces about itself, other entries and endpoints.
type Report struct {
	// From is the sender.
	From croft.Peer
	// Known are the other entries that the sender has the details of.
	Known []croft.Peer `json:",omitempty"`
	// Beats are the newest heartbeat numbers that the sender has seen, by entry.
	Beats map[croft.EntryID]uint64 `json:",omitempty"`
	// Ask lists entries that the sender knows to be alive but has no details of.
	Ask []croft.EntryID `json:",omitempty"`
	// Count is the number of entries that the sender considers alive.
	Count int `json:",omitempty"`
	// Wanted is the sender's demand for slots of some pools.
	Wanted map[croft.PoolID]int `json:",omitempty"`
	// News are notices that are sent at once rather than with the next probe, such as the leaving notice of an endpoint.
	News []croft.News `json:",omitempty"`
}

// ConfigQuestion is the request for a configuration newer than the version Above.
type ConfigQuestion struct{ Above uint64 }

// ConfigAnswer is the response to a ConfigQuestion: the update to the configuration in force, if it is newer.
type ConfigAnswer struct {
	Newer  bool
	Update conf.Update
}

// FleetQuestion is the request for an entry's last VM list and member rows.
type FleetQuestion struct{}

// FleetAnswer is the response to a FleetQuestion.
type FleetAnswer struct {
	VMs  []croft.VM
	Rows []croft.Row
}
