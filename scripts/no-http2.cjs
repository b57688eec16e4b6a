// Replaces node:http2 in the bundle. While HTTP/2 is not used, undici and the HTTP adapter only access these names.
class Unused {}

module.exports = { constants: {}, Http2ServerRequest: Unused, Http2ServerResponse: Unused };
