// Package resv plans reservations of executors for large tasks, gangs and wide stages that small tasks keep waiting, and
// decides which other tasks may be backfilled beside them (EASY backfilling: D. Lifka, "The ANL/IBM SP Scheduling System",
// JSSPP 1995; A. Mu'alem and D. Feitelson, "Utilization, Predictability, Workloads, and User Runtime Estimates in
// Scheduling the IBM SP2 with Backfilling", IEEE TPDS 12(6), 2001). It is pure: it reads no clock and does no I/O.
package resv
