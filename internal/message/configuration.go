package message

// ConfigHead announces the sender's configuration revision.
type ConfigHead struct {
	// Head is the encoded head object of the configuration.
	Head []byte `cbor:"1,keyasint"`
}

// ConfigFetch requests the contents of configuration files by digest.
type ConfigFetch struct {
	Digests []string `cbor:"1,keyasint"`
}

// ConfigFile is one content-addressed configuration file.
type ConfigFile struct {
	Digest  string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// ConfigFiles answers ConfigFetch with the requested files.
type ConfigFiles struct {
	Files []ConfigFile `cbor:"1,keyasint"`
}
