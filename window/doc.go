// Package window limits how many starts a leader has in flight by the responses that it gets: additive increase and multiplicative
// decrease (D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in computer
// networks", Computer Networks and ISDN Systems 17, 1989), applied to the number of requests in flight instead of their rate, as
// TCP does (V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988). As there, the limit first falls to its minimum, so that what
// is in flight drains, and rises quickly to the decreased value, by one with each answer. Nothing is limited until there is a sign of overload:
// starts that go unanswered on several unrelated executors at the same moment.
package window
