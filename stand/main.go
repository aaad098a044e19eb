// Command stand runs stand-ins of the platform and of executors for tests and the quick start.
package main

func main() {}
