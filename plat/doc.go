// Package plat speaks the platform's HTTP form: JSON bodies whose fields are Pascal case.
//
//	GET  /table/row?Key=                            Row, or 404
//	GET  /table/rows?Prefix=&After=&Since=&Limit=   RowsAnswer
//	POST /table/commit    CommitAsked               CommitAnswer, or 409 with ConflictAnswer
//	PUT  /objects/NAME    body
//	GET  /objects/NAME                              body, or 404
//	GET  /vms?Since=                                VMDelta
//	PUT  /vms/ID          VM                        VM as listed; Boot zero asks for the next boot
//	POST /vms/ID/order    VMOrdered
//	POST /reports            ReportsAsked           ReportsAnswer
//	POST /tasks/order     TaskOrdered
//
// A refusal has a Problem as its body. A 503 with the header Croft-Outcome: NotRun promises that
// nothing was done; every other 5xx, and a connection that ends early, leaves that open.
package plat
