// Command cooperative prints the configuration of the Gyeongbuk Fig Tray
// Growers Cooperative as JSON, which `azurespan publish` sends.
//
//	cooperative [-addresses FILE]
//
// FILE contains a JSON object that maps upstream names to addresses. Without it,
// upstreams have consecutive ports on loopback.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	var addresses string
	p := flaggy.NewParser("cooperative")
	p.Description = "Prints the configuration of the Cooperative."
	p.String(&addresses, "a", "addresses", "JSON file with an object from upstream name to address")
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := writeConfig(os.Stdout, addresses); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// writeConfig validates the deployment and writes it to w. Upstream addresses are
// read from the file with the given name unless it is empty. Nothing is written
// if the deployment is not valid.
func writeConfig(w io.Writer, addresses string) error {
	d := deployment()
	if addresses != "" {
		b, err := os.ReadFile(addresses)
		if err != nil {
			return err
		}
		if err := d.SetAddresses(b); err != nil {
			return err
		}
	}
	if err := d.Validate(); err != nil {
		return err
	}
	return d.Encode(w)
}
