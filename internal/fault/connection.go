package fault

import "fmt"

// CodeConnectionLost is the code of ConnectionLost.
const CodeConnectionLost Code = "connection_lost"

// ConnectionLost reports that a call may have been sent, but its connection
// broke before the response was complete. Its effect is unknown.
type ConnectionLost struct {
	Address string
	Reason  string
}

func (e *ConnectionLost) Error() string {
	return fmt.Sprintf("connection to %s was lost during a call: %s", e.Address, e.Reason)
}

// Code implements Coded.
func (e *ConnectionLost) Code() Code { return CodeConnectionLost }
