// Command boragelane runs and operates the entry hosts of a traffic steering system.
package main

import (
	"os"

	"github.com/boragelane/boragelane/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
