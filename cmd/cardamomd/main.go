// Command cardamomd is the daemon that runs on each entry host.
package main

func main() {}
