// Command cardamomctl is the command line for operators.
package main

func main() {}
