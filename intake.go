package ebonywood

// MessageMeter observes the reading of one client's messages. A reader of messages calls
// it only for messages that are not in its fixed buffer as a whole, so that ordinary
// messages cost nothing.
type MessageMeter interface {
	// MessageBegun is called when a part of a message has arrived, before the reader waits
	// for the rest of it.
	MessageBegun()
	// GrowMessage is called before the buffer of the message grows to a size in bytes. Its
	// error ends the reading.
	GrowMessage(size int) error
}
