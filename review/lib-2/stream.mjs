/** A client of a stream that may be taken up again, as the cases need it. */
import http from 'node:http';

/**
 * Sends the request of a stream. Resolves once it ends with its status, the number of its events and
 * the versions of the servers that made them; calls back with each new number of events.
 */
export function stream(router, id, headers, onEvents = () => undefined) {
  return new Promise(resolve => {
    const request = http.request({
      host: router.host,
      port: router.front,
      method: 'POST',
      path: '/stream/x',
      agent: false,
      headers: {
        Host: 'h.example',
        'Sesamegrade-Request-Id': id,
        'Sesamegrade-Model': 'm',
        'Sesamegrade-Token-Usage': '800,200',
        'Sesamegrade-Prompt-Prefix': 'aa1:800',
        ...headers,
      },
    });
    request.on('response', response => {
      let text = '';
      let events = 0;
      response.on('data', bytes => {
        text += bytes;
        const count = text.split('\n\n').length - 1;
        if (response.statusCode === 200 && count > events) {
          events = count;
          onEvents(events);
        }
      });
      response.on('close', () => {
        const found = text.matchAll(/^data: \S+ (v\d+)$/gmu);
        const versions = [...new Set([...found].map(([, version]) => version))];
        resolve({ status: response.statusCode, events, versions });
      });
    });
    request.on('error', error => {
      resolve({ status: String(error.code), events: 0, versions: [] });
    });
    request.end('prompt');
  });
}
