// Package shares decides how organisations share capacity that is short: which jobs exceed an organisation's contract, what part of its
// jobs is admitted, and how much of the capacity it has in use in proportion to its weight.
package shares
