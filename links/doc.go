// Package links dials and listens from one IP number, and can be cut off from others for tests of partitions.
package links
