/// \file
/// All VMs are asked at the same time, and each answer stands where its VM was
/// named.

#include "masticproxy/Ctl"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

/// Two VMs that answer only when both have been asked, the second first.
class patient_vms {
public:
  patient_vms() : First(Context, Any), Second(Context, Any) {
    Answers = std::thread([this] { answerBoth(); });
  }
  ~patient_vms() { Answers.join(); }

  std::vector<std::string> addresses() const {
    return {addressOf(First), addressOf(Second)};
  }

private:
  static std::string addressOf(const tcp::acceptor &Acceptor) {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  static tcp::socket takeRequest(tcp::acceptor &Acceptor) {
    tcp::socket Socket = Acceptor.accept();
    std::array<char, 4096> Request{};
    Socket.read_some(boost::asio::buffer(Request));
    return Socket;
  }

  static void answer(tcp::socket &Socket, const std::string &Body) {
    boost::asio::write(
        Socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" + Body));
  }

  void answerBoth() {
    tcp::socket ToFirst = takeRequest(First);
    tcp::socket ToSecond = takeRequest(Second);
    answer(ToSecond, "second");
    answer(ToFirst, "first");
  }

  boost::asio::io_context Context;
  tcp::endpoint Any{boost::asio::ip::make_address("127.0.0.1"), 0};
  tcp::acceptor First;
  tcp::acceptor Second;
  std::thread Answers;
};

} // namespace

Test(vm_reports, all_vms_are_asked_at_the_same_time) {
  patient_vms Vms;
  ctl_options Options;
  Options.Vms = Vms.addresses();
  std::vector<vm_report> Reports = askVms(Options, "/v1/status");
  cr_assert(Reports.size() == 2);
  cr_assert(Reports[0].Reached && Reports[0].Text == "first");
  cr_assert(Reports[1].Reached && Reports[1].Text == "second");
  cr_assert(Reports[0].Vm == Options.Vms[0]);
}
