package message

// FrameType implements Message.
func (*Hello) FrameType() Type { return TypeHello }

// FrameType implements Message.
func (*Welcome) FrameType() Type { return TypeWelcome }

// FrameType implements Message.
func (*Auth) FrameType() Type { return TypeAuth }

// FrameType implements Message.
func (*Heartbeat) FrameType() Type { return TypeHeartbeat }

// FrameType implements Message.
func (*Request) FrameType() Type { return TypeRequest }

// FrameType implements Message.
func (*Accepted) FrameType() Type { return TypeAccepted }

// FrameType implements Message.
func (*ResponseHead) FrameType() Type { return TypeResponseHead }

// FrameType implements Message.
func (*ResponseData) FrameType() Type { return TypeResponseData }

// FrameType implements Message.
func (*ResponseEnd) FrameType() Type { return TypeResponseEnd }

// FrameType implements Message.
func (*Credit) FrameType() Type { return TypeCredit }

// FrameType implements Message.
func (*Cancel) FrameType() Type { return TypeCancel }

// FrameType implements Message.
func (*Withdraw) FrameType() Type { return TypeWithdraw }

// FrameType implements Message.
func (*Withdrawn) FrameType() Type { return TypeWithdrawn }

// FrameType implements Message.
func (*Members) FrameType() Type { return TypeMembers }

// FrameType implements Message.
func (*ConfigHead) FrameType() Type { return TypeConfigHead }

// FrameType implements Message.
func (*ConfigFetch) FrameType() Type { return TypeConfigFetch }

// FrameType implements Message.
func (*ConfigFiles) FrameType() Type { return TypeConfigFiles }

// FrameType implements Message.
func (*MapPrepare) FrameType() Type { return TypeMapPrepare }

// FrameType implements Message.
func (*MapPromise) FrameType() Type { return TypeMapPromise }

// FrameType implements Message.
func (*MapDecide) FrameType() Type { return TypeMapDecide }

// FrameType implements Message.
func (*MapQuery) FrameType() Type { return TypeMapQuery }

// FrameType implements Message.
func (*MapState) FrameType() Type { return TypeMapState }

// FrameType implements Message.
func (*ZoneReport) FrameType() Type { return TypeZoneReport }

// FrameType implements Message.
func (*MapJoin) FrameType() Type { return TypeMapJoin }

// FrameType implements Message.
func (*MapPreload) FrameType() Type { return TypeMapPreload }

// FrameType implements Message.
func (*MapPreloaded) FrameType() Type { return TypeMapPreloaded }
