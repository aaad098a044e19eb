package audit

// Rule names the rule that a finding breaks.
type Rule string

// The rules; UnknownField, RepeatedField, ReplacedAmount and SmallBody for any job are checked where the file is decoded.
const (
	UnknownField   Rule = "UnknownField"
	RepeatedField  Rule = "RepeatedField"
	ReplacedAmount Rule = "ReplacedAmount"
	OldVersion     Rule = "OldVersion"
	EmptyID        Rule = "EmptyID"
	DuplicateID    Rule = "DuplicateID"
	NegativeAmount Rule = "NegativeAmount"
	MissingHost    Rule = "MissingHost"
	HostWithPort   Rule = "HostWithPort"
	InvalidPrefix  Rule = "InvalidPrefix"
	UnknownPool    Rule = "UnknownPool"
	SparePool      Rule = "SparePool"
	HiddenQueue    Rule = "HiddenQueue"
	NoObjective    Rule = "NoObjective"
	ShortStretch   Rule = "ShortStretch"
	SeveralSpares  Rule = "SeveralSpares"
	UnusedPool     Rule = "UnusedPool"
	InvalidWeight  Rule = "InvalidWeight"
	NoKeys         Rule = "NoKeys"
	EmptyKey       Rule = "EmptyKey"
	RepeatedKey    Rule = "RepeatedKey"
	SharedKey      Rule = "SharedKey"
	NoOwnKey       Rule = "NoOwnKey"
	NoOrganisation Rule = "NoOrganisation"
	SmallBody      Rule = "SmallBody"
	CapBelowJob    Rule = "CapBelowJob"
	CapBelowWeight Rule = "CapBelowWeight"
)
