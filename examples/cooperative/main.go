// Command cooperative prints the configuration of the Gyeongbuk Fig Tray
// Growers Cooperative as JSON, which `azurespan publish` sends.
//
//	cooperative [-addresses FILE]
//
// FILE holds a JSON object from upstream name to address, for hosts or ports
// other than the default ones on loopback.
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
	if err := write(os.Stdout, addresses); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// write validates the deployment, with addresses from a file unless its name
// is empty, and prints it. It prints nothing if there are problems.
func write(w io.Writer, addresses string) error {
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
