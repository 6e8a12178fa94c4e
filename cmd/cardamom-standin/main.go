// Command cardamom-standin runs the project's own stand-ins, the demo and the load tool.
package main

func main() {}
