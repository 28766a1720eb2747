//go:build review

package standin

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var encodedNames []byte

// Names are names of the users' protocol. They stand in wire.json, since in the sources only the packages of platform and tests have them.
type Names struct {
	RequestID, Seal, NotRun, ExpectInstance, Tokens, Parts string
	OrderPath, ReportPath, VersionPrefix                   string
}

// Wire are the names that the stand-ins use.
var Wire = readNames()

func readNames() Names {
	var names Names
	if err := json.Unmarshal(encodedNames, &names); err != nil {
		panic(err)
	}
	return names
}
