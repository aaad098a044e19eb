// Package intake stores the jobs that callers submit on the users' platform, reports their status and cancels them. It
// runs on every entry of package platform, whether the entry leads or not.
package intake
