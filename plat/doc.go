// Package plat is the client with which an entry of package daemon calls the platform's HTTP API, whose JSON bodies
// have Pascal case fields; package fakes implements the server. The users' platform has another API, which package
// platform calls.
//
//	GET  /table/row?Key=                            Row, or 404
//	GET  /table/rows?Prefix=&After=&Since=&Limit=   RowsAnswer
//	POST /table/commit    CommitAsked               CommitAnswer, or 409 with ConflictAnswer
//	PUT  /objects/NAME    body
//	GET  /objects/NAME                              body, or 404
//	GET  /vms?Since=                                VMDelta
//	PUT  /vms/ID          VM                        VM as listed; Boot zero asks for the next boot
//	POST /vms/ID/order    VMOrdered
//	POST /reports         ReportsAsked              ReportsAnswer
//	POST /tasks/order     TaskOrdered
//
// An error response has a Problem as its body. A 503 with the header Croft-Outcome: NotRun guarantees that
// nothing was done; with any other 5xx, or a connection that ends early, the outcome is unknown.
package plat
