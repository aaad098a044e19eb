// Package intake stores the jobs that callers submit, reports their status and cancels them; it runs on every entry,
// whether it leads or not.
package intake
