package telemetry

import "go.uber.org/zap/zapcore"

// plainErrors is a core that writes the message of an error and not its stack.
// zap adds a second field with the stack for errors of zeebo/errs classes, which
// makes each line some hundred bytes longer.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zapcore.Field{Key: f.Key, Type: zapcore.StringType, String: err.Error()}
		}
	}
	return fields
}
