#include "masticproxy/src/StandIns/direct_run.h"

#include "masticproxy/src/Net/tcp_address.h"
#include "masticproxy/src/Query/index_map.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <list>
#include <map>
#include <memory>
#include <vector>

using namespace masticproxy;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11;

/// \brief One kept-alive connection.
struct bare_connection {
  explicit bare_connection(boost::asio::io_context &Context)
      : Stream(Context) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

/// \brief A request under way: shards still to answer, and how many did well.
struct open_request {
  std::size_t Number = 0;
  std::size_t Left = 0;
  std::size_t Answered = 0;
};

class direct_generator {
public:
  direct_generator(const index_snapshot &Snapshot, const std::string &Index,
                   const direct_plan &Plan)
      : Snapshot(Snapshot), Index(Index), Plan(Plan), Loop(Plan.Loop) {}

  load_result run() {
    return Loop.run([this](std::size_t Number) { send(Number); });
  }

private:
  using connection = std::shared_ptr<bare_connection>;
  using request = std::shared_ptr<open_request>;

  void send(std::size_t Number) {
    auto Request = std::make_shared<open_request>();
    Request->Number = Number;
    Request->Left = Snapshot.Shards.size();
    for (const shard &Shard : Snapshot.Shards) {
      const replica &Replica = Shard.Replicas[Number % Shard.Replicas.size()];
      ask(Request, Shard.Id, Replica.Address);
    }
  }

  void ask(const request &Request, const std::string &Shard,
           const std::string &Address) {
    connection Connection;
    std::list<connection> &Spare = Idle[Address];
    bool Warm = !Spare.empty();
    if (Warm) {
      Connection = std::move(Spare.back());
      Spare.pop_back();
    } else {
      Connection = std::make_shared<bare_connection>(Loop.context());
    }
    fill(Connection->Request, Request->Number, Shard);
    if (Warm)
      return write(Request, Connection, Address);
    Connection->Stream.async_connect(
        parseTcpAddress(Address), [this, Request, Connection, Address](
                                      const boost::system::error_code &Error) {
          if (Error)
            return end(Request, false);
          boost::system::error_code Ignored;
          Connection->Stream.socket().set_option(tcp::no_delay(true), Ignored);
          write(Request, Connection, Address);
        });
  }

  void fill(http::request<http::string_body> &Request, std::size_t Number,
            const std::string &Shard) const {
    Request = {http::verb::post, "/v1/query", HttpVersion};
    Request.set(http::field::host, "direct");
    Request.set("x-request-id", std::to_string(Number));
    Request.set("x-attempt", std::to_string(Number));
    Request.set("x-index", Index);
    Request.set("x-snapshot", Snapshot.Id);
    Request.set("x-shard", Shard);
    Request.set("x-deadline-ms", std::to_string(Plan.Loop.Timeout.count()));
    Request.body() = Plan.Body;
    Request.prepare_payload();
  }

  void write(const request &Request, const connection &Connection,
             const std::string &Address) {
    http::async_write(Connection->Stream, Connection->Request,
                      [this, Request, Connection, Address](
                          const boost::system::error_code &Error, std::size_t) {
                        if (Error)
                          return end(Request, false);
                        read(Request, Connection, Address);
                      });
  }

  void read(const request &Request, const connection &Connection,
            const std::string &Address) {
    Connection->Response = {};
    http::async_read(
        Connection->Stream, Connection->Buffer, Connection->Response,
        [this, Request, Connection,
         Address](const boost::system::error_code &Error, std::size_t) {
          if (Error)
            return end(Request, false);
          Idle[Address].push_back(Connection);
          end(Request, Connection->Response.result() == http::status::ok);
        });
  }

  void end(const request &Request, bool Good) {
    Request->Answered += Good ? 1 : 0;
    if (--Request->Left > 0)
      return;
    std::size_t Asked = Snapshot.Shards.size();
    bool Whole = Request->Answered == Asked;
    Loop.finish(Request->Number, Whole ? "answered" : "incomplete",
                Whole ? 1.0 : 0.0);
  }

  const index_snapshot &Snapshot;
  const std::string &Index;
  const direct_plan &Plan;
  open_loop Loop;
  std::map<std::string, std::list<connection>> Idle;
};

} // namespace

load_result masticproxy::runDirect(const index_map &Map,
                                   const direct_plan &Plan) {
  return direct_generator(*Map.Current, Map.Name, Plan).run();
}
