import { expect } from 'chai';

import { TEST_MODEL, TestFleet } from '../testing/test-fleet';

const BODY = {
  model: TEST_MODEL,
  messages: [{ role: 'user', content: 'un lote de aretes' }],
  max_tokens: 20,
  stream: true,
};

describe('RouterProcess', () => {
  it('finishes running requests during a graceful shutdown and reports not ready', async () => {
    const fleet = new TestFleet();
    await fleet.start({
      routers: 1,
      engines: 1,
      engine: { tokensPerSecond: 40 },
      settings: { limits: { drain_notice_ms: '200' } },
    });
    const response = await fleet.chat(0, BODY);
    const stopping = fleet.routers[0]!.stop();
    const ready = await fetch(`${fleet.urls[0]!}/readyz`);
    expect(ready.status).to.equal(503);
    expect(await ready.text()).to.include('stopping');
    const late = await fleet.chat(0, { ...BODY, stream: false });
    expect(late.status).to.equal(200);
    expect(await response.text()).to.match(/data: \[DONE\]\n\n$/u);
    expect(await stopping).to.deep.equal({ kind: 'drained' });
    fleet.routers.length = 0;
    await fleet.stop();
  });
});
