// Command cranberrywalk serves model-backed applications on reclaimable VMs.
package main

import (
	"os"

	"github.com/cranberrywalk/cranberrywalk/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
