// Replaces undici by the modules that the router on the platform uses. The index
// of undici also loads fetch, caches and WebSockets, which would slow every start.
const Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const request = require('../node_modules/undici/lib/api/api-request.js');

Object.assign(Dispatcher.prototype, { request });
module.exports = { Agent, Client };
