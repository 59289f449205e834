// The part of undici that the router on the platform uses: its whole index
// loads fetch, caches and web sockets, which every start would pay for.
const Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const request = require('../node_modules/undici/lib/api/api-request.js');

Object.assign(Dispatcher.prototype, { request });
module.exports = { Agent, Client };
